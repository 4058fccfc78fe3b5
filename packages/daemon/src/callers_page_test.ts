import { readFileSync } from "node:fs";
import { EventKind } from "@chestnuthatch/core/events";
import { ERROR_TABLE } from "@chestnuthatch/core/error_table";
import {
  callerAnswerSchema,
  CallerEventKind,
  callerEventSchema,
  callerRefusalSchema,
  callerRequestSchema,
} from "@chestnuthatch/wire/caller_protocol";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CallerEdge } from "./caller_edge.ts";

const PAGE = readFileSync(
  new URL("../../../docs/operators/callers.md", import.meta.url),
  "utf8",
);
const CODE_BLOCK = /^```(http|json)\n([\s\S]*?)^```$/gm;
const REQUEST_LINE = /^POST \/v1\/requests /;
const STREAM_TYPE = "application/x-ndjson";
const ERROR_TABLE_ROW =
  /^\| `(\w+)` +\| (\d+) +\| `(\w+)` +\| (yes|no) +\| (.*?) +\|$/gm;

const ANSWER = {
  text: "Lift the blade guard.",
  outputTokens: 5,
  targetId: "msaidizi-3",
  waitedMs: 12,
  totalMs: 640,
};

interface HttpExample {
  readonly firstLine: string;
  readonly headers: string;
  readonly body: string;
}

function httpExamples(): HttpExample[] {
  return [...PAGE.matchAll(CODE_BLOCK)].map(([, , text]) => {
    const [head, body] = text.split("\n\n");
    const [firstLine, ...headers] = head.split("\n");
    return { firstLine, headers: headers.join("\n"), body: body ?? "" };
  });
}

function checkExample({ firstLine, headers, body }: HttpExample): void {
  if (REQUEST_LINE.test(firstLine)) {
    callerRequestSchema.parse(JSON.parse(body));
  } else if (headers.includes(STREAM_TYPE)) {
    body.trimEnd().split("\n").forEach((line) =>
      callerEventSchema.parse(JSON.parse(line))
    );
  } else if (firstLine.includes(" 200 ")) {
    callerAnswerSchema.parse(JSON.parse(body));
  } else {
    const refusal = callerRefusalSchema.parse(JSON.parse(body));
    const { httpStatus } = ERROR_TABLE[refusal.error];
    assert.match(firstLine, `HTTP/1.1 ${httpStatus} `);
    assert.match(headers, `x-request-id: ${refusal.requestId}`);
  }
}

test("should show examples that conform to the schemas", () => {
  const examples = httpExamples();
  examples.forEach(checkExample);
  assert.ok(examples.length >= 6);
});

test("should document the error table as in the code", () => {
  const documentedTable = [...PAGE.matchAll(ERROR_TABLE_ROW)].map(
    ([, error, httpStatus, defaultRun, mayRetry, hint]) => [error, {
      httpStatus: Number(httpStatus),
      defaultRun,
      mayRetry: mayRetry === "yes",
      hint,
    }],
  );
  assert.equal(Object.fromEntries(documentedTable), ERROR_TABLE);
});

/** Creates a callers' edge that answers every request immediately. */
function createAnsweringEdge(): CallerEdge {
  const callerEdge: CallerEdge = new CallerEdge({
    clock: { nowMs: () => 0 },
    emit: (event) => {
      if (event.kind === EventKind.RequestArrived) {
        const { requestId } = event.spec;
        callerEdge.answer(requestId, { ...ANSWER, requestId });
      }
    },
    log: () => {},
    count: () => {},
  }, {
    host: "127.0.0.1",
    port: 0,
    generateRequestId: () => "njiro-1-42",
    reader: {
      readiness: () => ({ ready: true, reasons: [] }),
      requestState: () => undefined,
      why: () => undefined,
      status: () => ({}),
      metrics: () => Promise.resolve({ contentType: "text/plain", text: "" }),
    },
  });
  return callerEdge;
}

function checkReply(wantsStream: boolean, text: string): void {
  if (!wantsStream) {
    callerAnswerSchema.parse(JSON.parse(text));
    return;
  }
  const events = text.trimEnd().split("\n").map((line) =>
    callerEventSchema.parse(JSON.parse(line))
  );
  assert.is(events.at(-1)?.kind, CallerEventKind.Final);
}

test("should accept every request of the page and answer in the documented form", async () => {
  const callerEdge = createAnsweringEdge();
  await callerEdge.start();
  const sent = httpExamples().filter(({ firstLine }) =>
    REQUEST_LINE.test(firstLine)
  );
  for (const { body } of sent) {
    const url = `http://${callerEdge.address()}/v1/requests`;
    const response = await fetch(url, { method: "POST", body });
    assert.is(response.status, 200);
    checkReply(JSON.parse(body).stream === true, await response.text());
  }
  await callerEdge.stop();
  assert.ok(sent.length >= 2);
});

test.run();
