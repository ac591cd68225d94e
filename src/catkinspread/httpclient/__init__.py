"""HTTP calls from an instance to the source of its state and to other instances."""

from catkinspread.httpclient.client import HttpClient, HttpFailure, HttpResponse

__all__ = ["HttpClient", "HttpFailure", "HttpResponse"]
