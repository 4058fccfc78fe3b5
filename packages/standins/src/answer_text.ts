/** The text stand-ins answer with; it shows whose answer it is. */

/** What an answer belongs to. */
export interface AnswerSubject {
  readonly requestId: string;
  /** End of the prompt or body, quoted in the answer. */
  readonly promptTail: string;
}

const PROMPT_TAIL_CHARS = 48;

/** Later tokens are the same for all requests; kept so that texts are slices. */
let laterText = "";
const laterEnds: number[] = [0];

/**
 * Cuts the part of a prompt that its answer quotes.
 *
 * @param prompt Prompt of an engine or body of a service call.
 * @returns The end of the prompt.
 */
export function promptTailOf(prompt: string): string {
  return prompt.slice(-PROMPT_TAIL_CHARS);
}

/**
 * Writes one token of an answer.
 *
 * @param subject What the answer belongs to.
 * @param index Position of the token, from 0.
 * @returns The token's text.
 */
export function answerTokenOf(subject: AnswerSubject, index: number): string {
  if (index === 0) {
    return `[${subject.requestId}|${subject.promptTail}]`;
  }
  return ` w${index}`;
}

/**
 * Writes a whole answer.
 *
 * @param subject What the answer belongs to.
 * @param outputTokens Length of the answer in tokens.
 * @returns The text, the same as all its tokens joined.
 */
export function answerTextOf(
  subject: AnswerSubject,
  outputTokens: number,
): string {
  if (outputTokens === 0) {
    return "";
  }
  growLaterText(outputTokens - 1);
  const later = laterText.slice(0, laterEnds[outputTokens - 1]);
  return answerTokenOf(subject, 0) + later;
}

function growLaterText(tokens: number): void {
  const parts: string[] = [];
  let end = laterText.length;
  while (laterEnds.length <= tokens) {
    const part = ` w${laterEnds.length}`;
    parts.push(part);
    end += part.length;
    laterEnds.push(end);
  }
  if (parts.length > 0) {
    laterText += parts.join("");
  }
}
