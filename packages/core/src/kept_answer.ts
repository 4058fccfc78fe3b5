/** Answers as they are kept in the object store, for callers that ask again. */

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

/** A kept answer, with the hash of the request that it answers. */
export type KeptAnswer = z.infer<typeof keptAnswerSchema>;

/**
 * Writes an answer for the object store.
 *
 * @param answer The whole answer.
 * @param contentHash Hash of the request it answers.
 * @returns JSON text.
 */
export function keptAnswerOf(answer: Answer, contentHash: string): string {
  return JSON.stringify({ contentHash, answer });
}

/**
 * Reads an answer back.
 *
 * @param content JSON text from the object store.
 * @returns The kept answer, or nothing when the text is not one.
 */
export function readKeptAnswer(content: string): KeptAnswer | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(content);
  } catch {
    return undefined;
  }
  return keptAnswerSchema.safeParse(parsed).data;
}
