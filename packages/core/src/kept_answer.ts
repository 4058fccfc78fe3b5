/**
 * Format of kept answers: answers in the object store, for later calls with the
 * same idempotency key.
 */

import * as z from "zod";
import type { Answer } from "./request.ts";

const keptAnswerSchema = z.strictObject({
  contentHash: z.string(),
  answer: z.strictObject({
    requestId: z.string(),
    text: z.string(),
    outputTokens: z.number(),
    targetId: z.string(),
    waitedMs: z.number(),
    totalMs: z.number(),
  }),
});

/** A kept answer, with the content hash of the request that it answers. */
export type KeptAnswer = z.infer<typeof keptAnswerSchema>;

/**
 * Serializes an answer for the object store.
 *
 * @param answer The complete answer.
 * @param contentHash Hash of the content of the request that it answers.
 * @returns JSON text.
 */
export function serializeKeptAnswer(
  answer: Answer,
  contentHash: string,
): string {
  return JSON.stringify({ contentHash, answer });
}

/**
 * Parses a kept answer.
 *
 * @param content JSON text from the object store.
 * @returns The kept answer, or undefined when the text is not a valid one.
 */
export function parseKeptAnswer(content: string): KeptAnswer | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(content);
  } catch {
    return undefined;
  }
  return keptAnswerSchema.safeParse(parsed).data;
}
