"""Rates of requests that upstreams take from all nodes together."""

from plantainway.ratelimits._book import LimitBook
