"""The operators' file: checked whole, with the node, the value and what would do; the log's JSON form."""

from __future__ import annotations

import io
import json
import tempfile
import unittest
from pathlib import Path

from loguru import logger

from calicohitch import logs
from calicohitch.config import ConfigError
from calicohitch.config.operator import Operator, load

ROOT = Path(__file__).parents[1]


class OperatorFile(unittest.TestCase):
    def read(self, text: str) -> Operator:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "o.kdl"
            path.write_text(text)
            return load(path)

    def test_what_is_shipped_can_be_used(self) -> None:
        shipped = load(ROOT / "deploy" / "operator.kdl")
        assert shipped.tracing
        self.assertEqual((shipped.tracing.log_lines_per_s, shipped.tracing.collector), (5.0, None))
        demo = load(ROOT / "example" / "operator.kdl").tracing
        assert demo and demo.file
        self.assertEqual(demo.file.path, ROOT / "example" / "traces.jsonl")  # beside the operators' file

    def test_nothing_is_on_that_is_not_named(self) -> None:
        self.assertEqual(self.read(""), Operator())

    def test_every_value_is_read(self) -> None:
        told = self.read(
            'tracing service="x" {\n sample ordinary=0.5 spans-per-s=50 strata=3\n'
            ' collector "http://[::1]:99/in" compression="zstd" timeout-ms=50\n}\nlogs format="json" level="DEBUG"'
        )
        assert told.tracing and told.tracing.collector
        budget = told.tracing.budget
        self.assertEqual((told.tracing.service, budget.ordinary, budget.strata), ("x", 0.5, 3))
        self.assertEqual((str(told.tracing.collector.address), told.tracing.collector.path), ("[::1]:99", "/in"))
        self.assertEqual((told.logs.format, told.logs.level), ("json", "DEBUG"))

    def test_coming_back(self) -> None:
        told = self.read('recovery folder-wait-ms=250 told-waits="outlast"').recovery
        self.assertEqual((told.folder_wait_ms, told.waits_outlast), (250.0, True))
        usual = self.read("").recovery
        self.assertEqual((usual.folder_wait_ms, usual.waits_outlast), (10_000.0, False))
        with self.assertRaisesRegex(ConfigError, "told-waits"):
            self.read('recovery told-waits="maybe"')

    def test_what_is_wrong_is_named_with_its_place(self) -> None:
        out = "log lines-per-s=1"
        cases = [
            ("tracing", "tracing: no way out is named"),
            (
                "tracin {\n}",
                "tracin: there is no such node here (known: clients, fleet, grpc, logs, recovery, tracing); did you "
                "mean tracing?",
            ),
            (
                "tracing {\nlog lines-per-s=0\n}",
                "tracing > log: lines-per-s must be a number from 0.01 to 10000, not 0",
            ),
            (
                f"tracing {{\n{out}\nsample ordinary=2\n}}",
                "tracing > sample: ordinary must be a number from 0 to 1, not 2",
            ),
            (f"tracing {{\n{out}\nsample spans-per-s=10.5\n}}", "spans-per-s must be a whole number, not 10.5"),
            (
                f"tracing {{\n{out}\nsample spans-pers=10\n}}",
                "nothing is known of spans-pers; did you mean spans-per-s?",
            ),
            (f"tracing {{\n{out}\n{out}\n}}", "tracing > log: it is there twice; it may be there once"),
            (f'tracing "x" {{\n{out}\n}}', "tracing: nothing is known of the argument 'x'"),
            ("tracing {\ncollector\n}", "tracing > collector: url is missing; it must be a text"),
            ('tracing {\ncollector "https://127.0.0.1/"\n}', "url: must be http://NUMERIC-HOST:PORT/PATH"),
            ('tracing {\ncollector "http://traces.example/"\n}', "names are not looked up"),
            (
                'tracing {\ncollector "http://127.0.0.1:1/" compression="brotli"\n}',
                "compression must be one of gzip, zstd, none, not 'brotli'",
            ),
            ("tracing {\nfile 7\n}", "path must be a text, not 7"),
            ('logs format="jsn"', "logs: format must be one of text, json, not 'jsn'; did you mean json?"),
            ('logs format="text"\n\ntracing {{', "is no KDL 2"),
            ('logs format="text"\nlogs "', "at or near line 2"),
        ]
        for text, complaint in cases:
            with self.subTest(text=text), self.assertRaises(ConfigError) as caught:
                self.read(text)
            self.assertIn(complaint, str(caught.exception))

    def test_grpc_routes_are_checked(self) -> None:
        good = (
            'grpc listen="127.0.0.1:0" {\n route "a.B" "C" class="x" dest=7 requests="many"\n'
            ' route "a.B" class="y" dest-metadata="Dest"\n endpoints flavor="f" also="http"\n}'
        )
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "o.kdl"

            def read(text: str) -> Operator:
                path.write_text(text)
                return load(path, ("x", "y"))

            told = read(good).grpc
            assert told
            self.assertEqual(
                [(r.method, r.class_index, r.dest, r.dest_key, r.streams) for r in told.routes],
                [("C", 0, 7, "", True), ("*", 1, None, "dest", False)],
            )
            self.assertEqual([told.speaks("s", flavor, 1) for flavor in ("f", "g")], [3, 1])
            for old, new, complaint in (
                ('class="x"', 'class="z"', "grpc > route: class must be one of x, y, not 'z'"),
                ("dest=7", 'dest=7 dest-metadata="d"', "it needs either dest=NUMBER or dest-metadata=KEY"),
                ('"C"', '"*"', "there are two routes for /a.B/*"),
                (' flavor="f"', "", "it needs an id, a flavor or a dest"),
                ("127.0.0.1:0", "here", "grpc: listen: the address must be HOST:PORT, not 'here'"),
                ('requests="many"', 'requests="some"', "requests must be one of one, many, not 'some'"),
            ):
                with self.subTest(new=new), self.assertRaises(ConfigError) as caught:
                    read(good.replace(old, new))
                self.assertIn(complaint, str(caught.exception))

    def test_all_that_is_wrong_is_told_at_once(self) -> None:
        with self.assertRaises(ConfigError) as caught:
            self.read('logs format="x"\ntracing {\nsample ordinary=2 strata=0\nnope\n}')
        self.assertEqual(len(str(caught.exception).splitlines()), 1 + 5)

    def test_a_file_that_is_not_there(self) -> None:
        with self.assertRaisesRegex(ConfigError, "the operators' file /nowhere cannot be read"):
            load(Path("/nowhere"))


class Logs(unittest.TestCase):
    def test_json_lines_carry_stable_names(self) -> None:
        out = io.StringIO()
        try:
            logs.set_up("json", "INFO", out)
            logger.bind(event="trace", trace_id="ab", message_id="a1").info("kept {}", 3)
            logger.debug("not this one")
            try:
                raise ValueError("x")
            except ValueError:
                logger.exception("broke")
        finally:
            logger.remove()
        first, second = [json.loads(line) for line in out.getvalue().splitlines()]
        self.assertEqual(
            {k: first[k] for k in ("event", "level", "text", "trace_id", "message_id")},
            {"event": "trace", "level": "INFO", "text": "kept 3", "trace_id": "ab", "message_id": "a1"},
        )
        self.assertEqual((second["event"], second["exception"]), ("log", "ValueError: x"))


if __name__ == "__main__":
    unittest.main()
