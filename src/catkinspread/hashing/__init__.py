"""Stable 64-bit hashes, equal on all instances, and rendezvous ranking."""

from catkinspread.hashing.hashing import hash_flow, hash_request, hash_text, rank_by_rendezvous

__all__ = ["hash_flow", "hash_request", "hash_text", "rank_by_rendezvous"]
