"""scripts/check-days finds what is wrong with a day of trouble."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEPT = ROOT / "deploy" / "days" / "late-grants.toml"


def check(text, name="late-grants.toml"):
    """Exit code and error lines for a file with this text."""
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / name
        path.write_text(text, encoding="utf-8")
        result = subprocess.run(
            [sys.executable, "-B", ROOT / "scripts" / "check-days", path],
            capture_output=True, text=True, check=False)
    return result.returncode, result.stderr.splitlines()


class CheckDaysTest(unittest.TestCase):
    def setUp(self):
        self.text = KEPT.read_text(encoding="utf-8")

    def assert_wrong(self, text, part, name="late-grants.toml"):
        code, errors = check(text, name)
        self.assertEqual(1, code)
        self.assertTrue(any(part in error for error in errors), errors)

    def test_a_kept_day_is_right(self):
        self.assertEqual((0, []), check(self.text))

    def test_a_file_that_cannot_be_read(self):
        self.assert_wrong(self.text + "faults = [", "cannot be read")

    def test_a_name_of_one_site(self):
        self.assert_wrong(self.text.replace("@s0", "catalogue"), "service catalogue")
        self.assert_wrong(self.text.replace("@z0", "hall-a"), "hall-a")
        self.assert_wrong(self.text.replace("@c0", "catalogue-read"), "traffic is not of @c0")

    def test_a_field_that_is_missing_or_unknown(self):
        self.assert_wrong(self.text.replace("seed =", "sead ="), "unknown ['sead']")

    def test_an_entry_without_kind_or_time(self):
        self.assert_wrong(self.text.replace("at = 20.0", 'at = "x"'), "not a time")
        self.assert_wrong(self.text.replace('kind = "herd_kill", ', ""), "no kind")

    def test_no_word_on_what_it_guards(self):
        self.assert_wrong(self.text.replace("# Guards", "# On"), "what it guards")

    def test_another_name_than_the_file(self):
        self.assert_wrong(self.text, "not that of its file", "other.toml")


if __name__ == "__main__":
    unittest.main()
