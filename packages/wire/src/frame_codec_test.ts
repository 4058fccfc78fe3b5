import { Buffer } from "node:buffer";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  encodeFrame,
  encodeKeepAlive,
  FRAME_LENGTH_BYTES,
  FrameDecoder,
  FrameFault,
  MAX_FRAME_BYTES,
} from "./frame_codec.ts";
import {
  type PeerMessage,
  PeerMessageKind,
  peerMessageSchema,
} from "./peer_messages.ts";

const PLAIN_RECORD = { noNullPrototype: true };
const PROPERTY_OPTIONS = { seed: 20, numRuns: 300 };
const EXPECTATION = { schema: peerMessageSchema };

const count = fc.integer({ min: 0, max: Number.MAX_SAFE_INTEGER });
const duration = fc.double({ min: 0, max: 1e9, noNaN: true });
const text = fc.string({ unit: "grapheme", maxLength: 200 });

const askArbitrary: fc.Arbitrary<PeerMessage> = fc.record({
  kind: fc.constant(PeerMessageKind.Ask as const),
  failureDomain: text,
  holderBeat: count,
  ask: fc.record({
    requestId: text,
    askNumber: count,
    pool: text,
    workspace: text,
    tierRank: count,
    value: duration,
    promptTokens: count,
    expectedOutputTokens: count,
    maxOutputTokens: count,
    timeLeftMs: duration,
    cancellable: fc.boolean(),
    excludedTargetIds: fc.array(text, { maxLength: 4 }),
    blockHashes: fc.array(text, { maxLength: 30 }),
    spreadOver: fc.integer({ min: 1, max: 1000 }),
    spreadIndex: count,
  }, PLAIN_RECORD),
}, PLAIN_RECORD);
function encodeToFrame(message: object): Buffer {
  return encodeFrame(message)._unsafeUnwrap();
}

function rawFrame(body: readonly number[], version = 1): Buffer {
  const frame = Buffer.from([0, 0, 0, 0, version, ...body]);
  frame.writeUInt32BE(frame.length - FRAME_LENGTH_BYTES);
  return frame;
}

function decodeFault(bytes: Uint8Array): FrameFault | null {
  const decoder = new FrameDecoder();
  decoder.push(bytes);
  const result = decoder.next(EXPECTATION);
  return result.isErr() ? result.error : null;
}

function decodeAll(decoder: FrameDecoder): PeerMessage[] {
  const messages: PeerMessage[] = [];
  let message = decoder.next(EXPECTATION)._unsafeUnwrap();
  while (message) {
    messages.push(message);
    message = decoder.next(EXPECTATION)._unsafeUnwrap();
  }
  return messages;
}

test("should decode the same messages however the bytes are split", () => {
  const cuts = fc.array(fc.nat(2000), { maxLength: 40 });
  const messages = fc.array(askArbitrary, { minLength: 1, maxLength: 5 });
  fc.assert(
    fc.property(messages, cuts, (sent, cutsAt) => {
      const stream = Buffer.concat([
        ...sent.map(encodeToFrame),
        encodeKeepAlive(),
      ]);
      const bounds = [...cutsAt, stream.length].sort((a, b) => a - b);
      const decoder = new FrameDecoder();
      const received: PeerMessage[] = [];
      let from = 0;
      for (const to of bounds) {
        decoder.push(stream.subarray(from, to));
        received.push(...decodeAll(decoder));
        from = Math.min(to, stream.length);
      }
      assert.equal(received, sent);
      assert.ok(decoder.end().isOk());
    }),
    PROPERTY_OPTIONS,
  );
});

test("should never throw on corrupted bytes", () => {
  const damage = fc.array(fc.tuple(fc.nat(3000), fc.nat(255)), {
    minLength: 1,
    maxLength: 8,
  });
  fc.assert(
    fc.property(askArbitrary, damage, (message, changes) => {
      const frame = encodeToFrame(message);
      for (const [at, value] of changes) frame[at % frame.length] = value;
      const decoder = new FrameDecoder();
      decoder.push(frame);
      const result = decoder.next(EXPECTATION);
      if (result.isOk() && result.value) peerMessageSchema.parse(result.value);
      decoder.end();
    }),
    PROPERTY_OPTIONS,
  );
});

test("should never throw on arbitrary bodies", () => {
  const body = fc.uint8Array({ maxLength: 300 });
  fc.assert(
    fc.property(body, (bytes) => {
      const fault = decodeFault(rawFrame([...bytes]));
      assert.is(fault === null, bytes.length === 0);
    }),
    { ...PROPERTY_OPTIONS, numRuns: 2000 },
  );
});

test("should refuse an oversized length before the body arrives", () => {
  const head = Buffer.alloc(FRAME_LENGTH_BYTES);
  head.writeUInt32BE(MAX_FRAME_BYTES + 1);
  assert.is(decodeFault(head), FrameFault.Oversized);
  const unsendable = encodeFrame({ content: "x".repeat(MAX_FRAME_BYTES) });
  assert.is(unsendable._unsafeUnwrapErr(), FrameFault.Oversized);
});

test("should distinguish the faults of a whole frame", () => {
  const tagged = [0xc2, 0x41, 0x01];
  const nested = new Array(100_000).fill(0x81);
  const hugeArray = [0x9a, 0xff, 0xff, 0xff, 0xff];
  assert.is(decodeFault(rawFrame(tagged)), FrameFault.Malformed);
  assert.is(decodeFault(rawFrame(nested)), FrameFault.Malformed);
  assert.is(decodeFault(rawFrame(hugeArray)), FrameFault.Malformed);
  assert.is(decodeFault(rawFrame([0xa0, 0xa0])), FrameFault.Malformed);
  assert.is(decodeFault(Buffer.alloc(4)), FrameFault.Malformed);
  assert.is(decodeFault(rawFrame([0xa0])), FrameFault.UnknownMessage);
  assert.is(decodeFault(rawFrame([], 9)), FrameFault.WrongVersion);
  assert.is(
    decodeFault(encodeToFrame({ kind: "none" })),
    FrameFault.UnknownMessage,
  );
});

test("should report an incomplete frame at the end and repeat a fault", () => {
  const decoder = new FrameDecoder();
  decoder.push(encodeToFrame({ kind: "none" }).subarray(0, 7));
  assert.is(decoder.next(EXPECTATION)._unsafeUnwrap(), null);
  assert.is(decoder.end()._unsafeUnwrapErr(), FrameFault.Malformed);
  decoder.push(rawFrame([0xff]));
  const first = decoder.next(EXPECTATION)._unsafeUnwrapErr();
  assert.is(decoder.next(EXPECTATION)._unsafeUnwrapErr(), first);
});

test.run();
