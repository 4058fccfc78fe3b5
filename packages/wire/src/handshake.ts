/**
 * The handshake that opens a connection between two entry instances.
 *
 * Each side sends a `Hello` with a new nonce, then proves that it knows the
 * shared secret by an HMAC over both hellos and its own role. The acceptor
 * sends its proof only after the proof of the dialler was verified.
 *
 * The proof authenticates the peer when the connection opens, and nothing that
 * follows. Messages after the handshake are neither encrypted nor signed: an
 * attacker on the path can read every message, and can alter, add or drop
 * messages of an authenticated connection. Anyone who knows the secret can
 * claim any instance id. Anyone who records a handshake can test guesses of
 * the secret against it offline, so the secret must be long and random.
 */

import { Buffer } from "node:buffer";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import * as z from "zod";

/** Largest frame accepted from a peer that is not authenticated yet. */
export const MAX_HANDSHAKE_FRAME_BYTES = 1024;

/** Shortest shared secret accepted, in bytes. */
export const MIN_SECRET_BYTES = 16;

const NONCE_BYTES = 32;
const MAX_ID_CHARACTERS = 128;
const HMAC_ALGORITHM = "sha256";
/** Separates these proofs from any other HMAC made with the same secret. */
const PROOF_CONTEXT = "chestnuthatch peer handshake";

/** The two sides of a connection between instances. */
export enum HandshakeRole {
  Dialler = "dialler",
  Acceptor = "acceptor",
}

/** Kinds of message in the handshake between instances. */
export enum HandshakeMessageKind {
  Hello = "hello",
  Proof = "proof",
}

const hex32BytesSchema = z.string().regex(/^[0-9a-f]{64}$/);
const idSchema = z.string().min(1).max(MAX_ID_CHARACTERS);

/** Schema of the first handshake message of each side. */
export const helloSchema = z.strictObject({
  kind: z.literal(HandshakeMessageKind.Hello),
  protocolVersion: z.number().int().nonnegative(),
  instanceId: idSchema,
  /** Increases with each start under the same instance id. */
  incarnation: z.number().int().nonnegative(),
  failureDomain: idSchema,
  /** 32 random bytes in hexadecimal, new for each connection. */
  nonce: hex32BytesSchema,
});

/** First handshake message: protocol version, identity and nonce of a side. */
export type Hello = z.infer<typeof helloSchema>;

/** Schema of the second handshake message of each side. */
export const proofSchema = z.strictObject({
  kind: z.literal(HandshakeMessageKind.Proof),
  proof: hex32BytesSchema,
});

/** Second handshake message: the HMAC that proves knowledge of the secret. */
export type Proof = z.infer<typeof proofSchema>;

/** The hellos of both sides of one connection. */
export interface HandshakeTranscript {
  readonly dialler: Hello;
  readonly acceptor: Hello;
}

/** What a proof is computed over: both hellos and the role of its sender. */
export interface ProofClaim {
  readonly transcript: HandshakeTranscript;
  /** The side that sends the proof. */
  readonly role: HandshakeRole;
}

/**
 * Creates a nonce from the operating system's secure random source.
 *
 * @returns 32 random bytes in hexadecimal.
 */
export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString("hex");
}

/**
 * Creates the proof of one side.
 *
 * @param secret The shared secret.
 * @param claim Both hellos of the connection and the role of the sender.
 * @returns The handshake message to send.
 */
export function createProof(secret: string, claim: ProofClaim): Proof {
  return {
    kind: HandshakeMessageKind.Proof,
    proof: computeDigest(secret, claim).toString("hex"),
  };
}

/**
 * Verifies the proof of the other side in constant time.
 *
 * @param proof The handshake message received.
 * @param options The shared secret, and the claim that the proof must match.
 * @returns Whether the sender knows the secret.
 */
export function isProofValid(
  proof: Proof,
  options: ProofClaim & { readonly secret: string },
): boolean {
  const expected = computeDigest(options.secret, options);
  const received = Buffer.from(proof.proof, "hex");
  return received.length === expected.length &&
    timingSafeEqual(received, expected);
}

function computeDigest(secret: string, claim: ProofClaim): Buffer {
  const { dialler, acceptor } = claim.transcript;
  // A JSON list is unambiguous: different fields never give the same text.
  const signedPayload = JSON.stringify([
    PROOF_CONTEXT,
    claim.role,
    ...signedHelloFields(dialler),
    ...signedHelloFields(acceptor),
  ]);
  return createHmac(HMAC_ALGORITHM, secret).update(signedPayload).digest();
}

function signedHelloFields(hello: Hello): readonly (string | number)[] {
  return [
    hello.protocolVersion,
    hello.instanceId,
    hello.incarnation,
    hello.failureDomain,
    hello.nonce,
  ];
}
