import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  createNonce,
  createProof,
  HandshakeMessageKind,
  HandshakeRole,
  type Hello,
  helloSchema,
  isProofValid,
  proofSchema,
} from "./handshake.ts";

const SECRET = "a secret for tests only";

function hello(instanceId: string, nonceDigit: string): Hello {
  return {
    kind: HandshakeMessageKind.Hello,
    protocolVersion: 1,
    instanceId,
    incarnation: 3,
    failureDomain: "tengeru",
    nonce: nonceDigit.repeat(64),
  };
}

const transcript = {
  dialler: hello("entry-1", "a"),
  acceptor: hello("entry-2", "b"),
};
const claim = { transcript, role: HandshakeRole.Dialler };
const proof = createProof(SECRET, claim);

test("should accept the proof of a peer that knows the secret", () => {
  assert.ok(isProofValid(proof, { ...claim, secret: SECRET }));
  assert.ok(proofSchema.safeParse(proof).success);
});

test("should refuse the wrong secret and a reflected proof", () => {
  const role = HandshakeRole.Acceptor;
  assert.not(isProofValid(proof, { ...claim, secret: "another secret here" }));
  assert.not(isProofValid(proof, { ...claim, secret: SECRET, role }));
});

test("should bind the proof to every field of both hellos", () => {
  const changes: Partial<Hello>[] = [
    { protocolVersion: 2 },
    { instanceId: "entry-3" },
    { incarnation: 4 },
    { failureDomain: "sakina-hall" },
    { nonce: "c".repeat(64) },
  ];
  for (const side of ["dialler", "acceptor"] as const) {
    for (const change of changes) {
      const changed = {
        ...transcript,
        [side]: { ...transcript[side], ...change },
      };
      const options = { ...claim, transcript: changed, secret: SECRET };
      assert.not(
        isProofValid(proof, options),
        `${side} ${Object.keys(change)}`,
      );
    }
  }
});

test("should refuse a proof of the wrong length without throwing", () => {
  const short = { ...proof, proof: "ab" };
  assert.not(isProofValid(short, { ...claim, secret: SECRET }));
});

test("should create distinct nonces that match the schema", () => {
  const nonce = createNonce();
  assert.is.not(nonce, createNonce());
  assert.ok(helloSchema.safeParse({ ...hello("entry-1", "a"), nonce }).success);
  const unnamed = { ...hello("entry-1", "a"), instanceId: "" };
  assert.not(helloSchema.safeParse(unnamed).success);
});

test.run();
