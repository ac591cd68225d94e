"""HTTP client for calls to the source of the deployment state and to other instances."""

from catkinspread.httpclient.client import HttpClient, HttpFailure, HttpResponse

__all__ = ["HttpClient", "HttpFailure", "HttpResponse"]
