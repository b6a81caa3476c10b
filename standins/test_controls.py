"""Tests that stand-ins refuse input that they can't use, rather than ignore it."""

import os
import socket
import subprocess
import time
import unittest
import urllib.error
import urllib.request

BIN = os.environ["STANDIN_BIN"]
START_LIMIT_S = 20


def free_port() -> int:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


class FaultRelay(unittest.TestCase):
    def setUp(self):
        self.control = f"127.0.0.1:{free_port()}"
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.server.close)
        self.server.settimeout(START_LIMIT_S)
        self.port = free_port()
        link = (f"a=127.0.0.1:{self.port}="
                f"127.0.0.1:{self.server.getsockname()[1]}")
        self.relay = subprocess.Popen(
            [f"{BIN}/fault_relay", "--links", link, "--control", self.control])
        self.addCleanup(self.end)
        self.await_start()

    def end(self):
        self.relay.terminate()
        self.relay.wait()

    def await_start(self):
        limit = time.monotonic() + START_LIMIT_S
        while time.monotonic() < limit:
            try:
                return self.request("counts")
            except urllib.error.URLError:
                self.assertIsNone(self.relay.poll())
        self.fail("the relay does not answer")

    def request(self, path, body=None):
        return urllib.request.urlopen(
            f"http://{self.control}/control/{path}", body, START_LIMIT_S)

    def test_a_fault_of_the_wrong_type_is_refused(self):
        for body in (b"refuse: maybe", b"hold_up: 3", b"delay_ms: soon",
                     b"reset: [1]", b"half_open: no way",
                     b"silence: perhaps"):
            with self.subTest(body=body):
                with self.assertRaises(urllib.error.HTTPError) as refused:
                    self.request("faults", body)
                self.assertEqual(refused.exception.code, 400)
                refused.exception.close()

    def test_a_fault_of_the_right_type_is_taken(self):
        with self.request("faults", b"refuse: true\ndelay_ms: 3") as response:
            self.assertEqual(response.status, 200)

    def connect(self):
        """Returns the client's and the server's end of a relayed connection."""
        client = socket.create_connection(("127.0.0.1", self.port),
                                          START_LIMIT_S)
        self.addCleanup(client.close)
        server, _ = self.server.accept()
        self.addCleanup(server.close)
        server.settimeout(START_LIMIT_S)
        return client, server

    def exchange(self, client, server):
        for sender, receiver in ((client, server), (server, client)):
            sender.sendall(b"x")
            self.assertEqual(receiver.recv(1), b"x")

    def assert_silent(self, connection):
        """Neither bytes nor an end may have arrived."""
        connection.setblocking(False)
        with self.assertRaises(BlockingIOError):
            connection.recv(1)

    # Guards against a silence that ends, that a VM would notice without a time
    # limit of its own, or that affects new connections.
    def test_silence_is_for_good_and_for_open_connections_only(self):
        for ends in (False, True):
            with self.subTest(ends=ends):
                client, server = self.connect()
                self.exchange(client, server)
                self.request("faults", b"silence: true").close()
                client.sendall(b"x")
                server.sendall(b"x")
                if ends:
                    client.close()
                self.request("faults", b"silence: false").close()
                self.exchange(*self.connect())
                self.assert_silent(server)
                if not ends:
                    self.assert_silent(client)

    def test_reset_ends_silence(self):
        client, server = self.connect()
        self.request("faults", b"silence: true").close()
        self.request("faults", b"reset: true").close()
        for end in (client, server):
            with self.assertRaises(ConnectionResetError):
                end.recv(1)


class Addresses(unittest.TestCase):
    def test_a_port_out_of_range_ends_the_program(self):
        for address in ("127.0.0.1:65536", "127.0.0.1:70000", "127.0.0.1",
                        "127.0.0.1:80x", "localhost:80"):
            with self.subTest(address=address):
                ended = subprocess.run(
                    [f"{BIN}/fault_relay", "--links",
                     f"a={address}=127.0.0.1:1", "--control",
                     f"127.0.0.1:{free_port()}"],
                    capture_output=True, timeout=START_LIMIT_S, check=False)
                self.assertNotEqual(ended.returncode, 0)
                self.assertIn(b"ADDRESS:PORT", ended.stderr)


if __name__ == "__main__":
    unittest.main()
