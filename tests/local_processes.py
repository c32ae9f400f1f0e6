"""Starts a deployment as separate processes on loopback and stops exactly those processes."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field

import msgspec

from child_processes import start_child
from milletcourse.standins.embedded import CLUSTER_KEY, MODEL, PLACES, deployment_documents

READY_TIMEOUT_SECONDS = 30.0


@dataclass
class LocalProcess:
    """One started program with the address from its readiness line."""

    name: str
    process: subprocess.Popen[str]
    http: str

    @classmethod
    def start(cls, name: str, *arguments: str) -> LocalProcess:
        """Start a program and wait for its readiness line."""
        process = start_child(
            [sys.executable, "-m", "milletcourse", *arguments],
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "PYTHONHASHSEED": "0"},
        )
        assert process.stdout is not None
        line = process.stdout.readline()
        assert line, f"{name} exited before it was ready"
        return cls(name, process, json.loads(line)["http"])

    def kill(self) -> None:
        """Send SIGKILL and wait for the process."""
        self.process.kill()
        self.process.wait()

    def terminate(self) -> None:
        """Send SIGTERM without waiting."""
        self.process.send_signal(signal.SIGTERM)


@dataclass
class LocalDeployment:
    """The processes of one small deployment."""

    engine_options: tuple[str, ...] = ("--prefill-tokens-per-second", "20000")
    processes: list[LocalProcess] = field(default_factory=list)
    engines: list[LocalProcess] = field(default_factory=list)
    routers: list[LocalProcess] = field(default_factory=list)
    platform: LocalProcess | None = None
    application: LocalProcess | None = None

    def start(self) -> None:
        """Start everything; returns when both routers are ready and fresh."""
        self.platform = self._start("platform", "standin", "platform")
        store = self._start("kv-store", "standin", "kv-store")
        self.application = self._start("app", "standin", "app")
        for index in range(len(PLACES)):
            options = ("--model", f"{MODEL}=1", "--name", f"engine-{index}", *self.engine_options)
            self.engines.append(self._start(f"engine-{index}", "standin", "engine", *options))
        for index in range(2):
            self.start_router(index)
        members = [
            {"name": router.name, "address": router.http, "place": PLACES[index]}
            for index, router in enumerate(self.routers)
        ]
        documents = deployment_documents(
            [engine.http for engine in self.engines], store.http, self.application.http, members
        )
        for kind, name, spec in documents:
            write = {"spec": spec, "expected_version": 0, "change_id": f"{kind}/{name}"}
            self.put(self.platform.http, f"/v1/objects/{kind}/{name}", write)
        for router in self.routers:
            self.wait_fresh(router, len(documents))

    def start_router(self, index: int) -> LocalProcess:
        """Start one router with the previously started ones as peers."""
        assert self.platform is not None
        peers = [item for router in self.routers for item in ("--peer", router.http)]
        router = self._start(
            f"router-{index}",
            "router",
            *("--name", f"router-{index}", "--place", PLACES[index % 3]),
            *("--platform", self.platform.http, "--cluster-key", CLUSTER_KEY),
            *("--log-level", "error", *peers),
        )
        self.routers.append(router)
        return router

    def _start(self, name: str, *arguments: str) -> LocalProcess:
        process = LocalProcess.start(name, *arguments)
        self.processes.append(process)
        return process

    def put(self, address: str, path: str, document: object) -> None:
        """PUT a JSON document."""
        request = urllib.request.Request(
            f"http://{address}{path}", data=msgspec.json.encode(document), method="PUT"
        )
        with urllib.request.urlopen(request, timeout=10):
            pass

    def get(self, address: str, path: str) -> dict[str, object]:
        """GET a JSON document, whatever its status."""
        try:
            with urllib.request.urlopen(f"http://{address}{path}", timeout=10) as response:
                return msgspec.json.decode(response.read())
        except urllib.error.HTTPError as error:
            return msgspec.json.decode(error.read())

    def wait_fresh(self, router: LocalProcess, revision: int) -> None:
        """Wait until a router has a revision in force and is fresh."""
        give_up_at = time.monotonic() + READY_TIMEOUT_SECONDS
        needle = f"milletcourse_configuration_revision {float(revision)}"
        while time.monotonic() < give_up_at:
            ready = self.get(router.http, "/readyz")
            with urllib.request.urlopen(f"http://{router.http}/metrics", timeout=10) as response:
                in_force = needle in response.read().decode()
            if ready.get("ready") and ready.get("fresh") and in_force:
                return
            time.sleep(0.05)
        raise AssertionError(f"{router.name} did not become ready")

    def stop(self) -> None:
        """Kill every process started by this deployment."""
        for process in self.processes:
            if process.process.poll() is None:
                process.process.kill()
        for process in self.processes:
            process.process.wait()
            if process.process.stdout is not None:
                process.process.stdout.close()
