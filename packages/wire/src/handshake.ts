/**
 * The handshake that opens a connection between two entry instances.
 *
 * Each side sends a `Hello` with a fresh nonce, then proves that it knows the
 * shared secret by an HMAC over both hellos and its own role. The acceptor
 * proves itself only after the dialler did.
 *
 * The proof says who opened the connection, and nothing about what follows.
 * Nothing is encrypted or signed after the handshake: whoever is on the path
 * can read every message, and can alter, add or drop messages of a connection
 * that two honest instances opened. Whoever knows the secret can claim any
 * instance id. Whoever records a handshake can test guesses of the secret
 * against it, so the secret has to be long and random.
 */

import { Buffer } from "node:buffer";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import * as z from "zod";

/** The largest frame taken from a peer that has not proved itself. */
export const MAX_HANDSHAKE_FRAME_BYTES = 1024;

/** The shortest shared secret taken, in bytes. */
export const MIN_SECRET_BYTES = 16;

const NONCE_BYTES = 32;
const MAX_NAME_CHARACTERS = 128;
const HMAC_ALGORITHM = "sha256";
/** Keeps proofs apart from any other use of the same secret. */
const PROOF_CONTEXT = "chestnuthatch peer handshake";

/** Which side of the connection a peer is. */
export enum HandshakeRole {
  Dialler = "dialler",
  Acceptor = "acceptor",
}

/** Kinds of handshake message. */
export enum HandshakeMessageKind {
  Hello = "hello",
  Proof = "proof",
}

const digestSchema = z.string().regex(/^[0-9a-f]{64}$/);
const nameSchema = z.string().min(1).max(MAX_NAME_CHARACTERS);

/** The first message of each side. */
export const helloSchema = z.strictObject({
  kind: z.literal(HandshakeMessageKind.Hello),
  protocolVersion: z.number().int().nonnegative(),
  instanceId: nameSchema,
  /** Rises with each start of the same instance id. */
  incarnation: z.number().int().nonnegative(),
  failureDomain: nameSchema,
  /** Fresh for each connection. */
  nonce: digestSchema,
});
export type Hello = z.infer<typeof helloSchema>;

/** The second message of each side. */
export const proofSchema = z.strictObject({
  kind: z.literal(HandshakeMessageKind.Proof),
  proof: digestSchema,
});
export type Proof = z.infer<typeof proofSchema>;

/** The two hellos of one connection. */
export interface HandshakeTranscript {
  readonly dialler: Hello;
  readonly acceptor: Hello;
}

/** One side's claim to know the secret. */
export interface ProofClaim {
  readonly transcript: HandshakeTranscript;
  /** The side that proves itself. */
  readonly role: HandshakeRole;
}

/**
 * Makes a nonce from the system's secure randomness.
 *
 * @returns The nonce in hex.
 */
export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString("hex");
}

/**
 * Makes one side's proof.
 *
 * @param secret The shared secret.
 * @param claim The connection's hellos and the side that proves itself.
 * @returns The message to send.
 */
export function createProof(secret: string, claim: ProofClaim): Proof {
  return {
    kind: HandshakeMessageKind.Proof,
    proof: digestOf(secret, claim).toString("hex"),
  };
}

/**
 * Checks the other side's proof in constant time.
 *
 * @param proof The message received.
 * @param options The secret, and the claim that the proof has to match.
 * @returns True when the sender knows the secret.
 */
export function isProofValid(
  proof: Proof,
  options: ProofClaim & { readonly secret: string },
): boolean {
  const expected = digestOf(options.secret, options);
  const received = Buffer.from(proof.proof, "hex");
  return received.length === expected.length &&
    timingSafeEqual(received, expected);
}

function digestOf(secret: string, claim: ProofClaim): Buffer {
  const { dialler, acceptor } = claim.transcript;
  // JSON of a list is unambiguous: no field can run into the next one.
  const signed = JSON.stringify([
    PROOF_CONTEXT,
    claim.role,
    ...helloFields(dialler),
    ...helloFields(acceptor),
  ]);
  return createHmac(HMAC_ALGORITHM, secret).update(signed).digest();
}

function helloFields(hello: Hello): readonly (string | number)[] {
  return [
    hello.protocolVersion,
    hello.instanceId,
    hello.incarnation,
    hello.failureDomain,
    hello.nonce,
  ];
}
