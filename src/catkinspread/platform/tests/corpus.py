"""Content of entries that damaged or foreign writers may leave in the store, for the fuzz tests."""

import json

VALID = json.dumps(
    {
        "service": "pages",
        "address": "10.128.0.9:8080",
        "zone": "khomas-a",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 4,
        "born": 1_790_000_000_000,
    }
).encode()
CONFIGURATION = (
    b'{"version":7,"routes":[{"name":"r1","host":"198.18.0.1","path_prefix":"/8443/","kind":"safe",'
    b'"timeout_ms":1500,"priority":2,"backends":[{"service":"pages","weight":90},'
    b'{"service":"desk","weight":10}]}],"services":[{"name":"pages","max_flows":2000,'
    b'"cold_per_s":0.5}],"limits":{"idle_timeout_ms":15000}}'
)
ENTRIES = (
    VALID,
    CONFIGURATION,
    b"null",
    b"{}",
    b"[]",
    b'"text"',
    b"17",
    # Review case 1.
    VALID.replace(b'"v1"', b"[" * 1_100 + b"]" * 1_100),
    VALID.replace(b'"v1"', b'{"a":' * 1_100 + b"1" + b"}" * 1_100),
    # Review case 2.
    b'{"service":"desk","address":"10.128.0.9:8080","zone":"khomas-a","state":"ready"}',
    # Review case 3.
    VALID.replace(b"pages", rb"geb\udcfchr"),
    VALID.replace(b"pages", b"geb\xfchr"),
    VALID.replace(b"pages", b"\xff\xfe\x00"),
    VALID.replace(b"4,", b"18446744073709551616,"),
    VALID.replace(b"4,", b"-1,"),
    VALID.replace(b"4,", b"1e400,"),
    VALID.replace(b"4,", b"9" * 5_000 + b","),
    VALID.replace(b"4,", b"NaN,"),
    VALID.replace(b"8080", b"0"),
    VALID.replace(b"8080", b"65536"),
    VALID.replace(b"8080", b"99999"),
    VALID.replace(b"8080", b"9" * 5_000),
    VALID.replace(b"10.128.0.9", b"255.255.255.255"),
    VALID.replace(b"ready", b"asleep"),
    VALID.replace(b'"zone"', b'"service"'),
    VALID.replace(b'"zone": "khomas-a"', b'"zone": true'),
    VALID.replace(b"pages", b"s" * 70_000),
    VALID[:-20],
    VALID + b"}",
)
METAS = (
    b'{"name":"i-1a","revision":3}',
    b'{"name":"main","revision":3}',
    b'{"name":"i-1a","revision":18446744073709551616}',
    b'{"name":"i-1a","revision":"x"}',
    b'{"name":""}',
    b'{"name":5}',
    rb'{"name":"\ud800"}',
    b'{"name":"\xff"}',
    b'{"name":"i-1a","name":"i-2b"}',
    b'{"name":"' + b"n" * 5_000 + b'"}',
    b"{}",
    b"null",
    b"[" * 2_000,
)
FRAMES = (
    b'{"items":[%b],"has_more":false,"at_rev":5}',
    b'{"at_rev":5,"items":[%b],"has_more":true}',
    b'{"items":[%b],"has_more":"no","at_rev":5}',
    b'{"items":[%b],"at_rev":18446744073709551616}',
    b'{"items":[%b],"items":[],"at_rev":5}',
    b'{"items":[%b],"at_rev":' + b"9" * 5_000 + b"}",
    b'{"items":%b,"at_rev":5}',
    b'{"events":[%b],"at_rev":5}',
    b"[%b]",
    b"%b",
)
