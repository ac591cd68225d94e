"""Stable 64-bit hashes that every instance computes alike."""

from catkinspread.hashing.hashing import hash_flow, hash_request, hash_text, rank_by_rendezvous

__all__ = ["hash_flow", "hash_request", "hash_text", "rank_by_rendezvous"]
