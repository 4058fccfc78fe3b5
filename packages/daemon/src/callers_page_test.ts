import { readFileSync } from "node:fs";
import { ERROR_TABLE } from "@chestnuthatch/core/error_table";
import {
  callerAnswerSchema,
  callerEventSchema,
  callerRefusalSchema,
  callerRequestSchema,
} from "@chestnuthatch/wire/caller_protocol";
import { test } from "uvu";
import * as assert from "uvu/assert";

const PAGE = readFileSync(
  new URL("../../../docs/operators/callers.md", import.meta.url),
  "utf8",
);
const FENCE = /^```(http|json)\n([\s\S]*?)^```$/gm;
const REQUEST_LINE = /^POST \/v1\/requests /;
const STREAM_TYPE = "application/x-ndjson";
const ROW = /^\| `(\w+)` +\| (\d+) +\| `(\w+)` +\| (yes|no) +\| (.*?) +\|$/gm;

interface HttpExample {
  readonly firstLine: string;
  readonly headers: string;
  readonly body: string;
}

function httpExamples(): HttpExample[] {
  return [...PAGE.matchAll(FENCE)].map(([, , text]) => {
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

test("should show examples that keep to the schemas", () => {
  const examples = httpExamples();
  examples.forEach(checkExample);
  assert.ok(examples.length >= 6);
});

test("should tell the error table as it is", () => {
  const told = [...PAGE.matchAll(ROW)].map(
    ([, error, httpStatus, defaultRun, mayRetry, hint]) => [error, {
      httpStatus: Number(httpStatus),
      defaultRun,
      mayRetry: mayRetry === "yes",
      hint,
    }],
  );
  assert.equal(Object.fromEntries(told), ERROR_TABLE);
});

test.run();
