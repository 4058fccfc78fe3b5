/** Tests of the bytes that an answer may have besides its body. */

import { Agent } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { TargetExchange } from "./target_exchange.ts";

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

// Guards against a limit on overhead that breaks off a sound answer, or that
// counts the other answers of its connection.
test("answers in chunks of one byte are complete on a kept connection", async () => {
  const bodyBytes = 128 * 1024;
  let connections = 0;
  const server = createServer((socket) => {
    connections++;
    socket.on("data", () => {
      socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      socket.write("1\r\nx\r\n".repeat(bodyBytes) + "0\r\n\r\n");
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const agent = new Agent({ keepAlive: true });
  try {
    const seen: unknown[] = [];
    for (let i = 0; i < 3; i++) {
      seen.push(await answerFrom(`127.0.0.1:${port}`, agent));
      await nextTurn();
    }
    const [kept] = Object.values(agent.freeSockets).flat();
    seen.push(kept!.listenerCount("data"), connections);
    assert.equal(seen, [bodyBytes, bodyBytes, bodyBytes, 0, 1]);
  } finally {
    agent.destroy();
    server.close();
  }
});

/** Returns the length of an answer's body, or the reason why it failed. */
function answerFrom(address: string, agent: Agent): Promise<number | string> {
  return new Promise((resolve) => {
    let bodyBytes = 0;
    new TargetExchange({
      agent,
      address,
      method: "GET",
      path: "/",
      headers: [],
    }, {
      connectDelayed: () => {},
      head: () => {},
      data: (chunk) => bodyBytes += chunk.length,
      ended: () => resolve(bodyBytes),
      failed: ({ reason }) => resolve(reason),
    });
  });
}

test.run();
