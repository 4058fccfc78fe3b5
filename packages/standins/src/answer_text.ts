/** Answer texts of the stand-ins; each names the request that it answers. */

/** The parts of a request that its answer quotes. */
export interface AnsweredRequest {
  readonly requestId: string;
  /** End of the prompt or body, quoted in the answer. */
  readonly promptTail: string;
}

const PROMPT_TAIL_CHARS = 48;

/**
 * Cached text of all tokens after the first. It is the same for every request,
 * so an answer is a slice of it.
 */
let textAfterFirstToken = "";
/** For each token index, the offset in the cached text at which it ends. */
const tokenEndOffsets: number[] = [0];

/**
 * Extracts the end of a prompt, which the answer quotes.
 *
 * @param prompt Prompt of an engine or body of a service call.
 * @returns The end of the prompt.
 */
export function slicePromptTail(prompt: string): string {
  return prompt.slice(-PROMPT_TAIL_CHARS);
}

/**
 * Renders one token of an answer.
 *
 * @param request The request that the answer names.
 * @param index Index of the token, from 0.
 * @returns The token's text.
 */
export function renderAnswerToken(
  request: AnsweredRequest,
  index: number,
): string {
  if (index === 0) {
    return `[${request.requestId}|${request.promptTail}]`;
  }
  return ` w${index}`;
}

/**
 * Renders a whole answer.
 *
 * @param request The request that the answer names.
 * @param outputTokens Length of the answer in tokens.
 * @returns The texts of all its tokens, joined.
 */
export function renderAnswerText(
  request: AnsweredRequest,
  outputTokens: number,
): string {
  if (outputTokens === 0) {
    return "";
  }
  extendTextAfterFirstToken(outputTokens - 1);
  const remainingText = textAfterFirstToken.slice(
    0,
    tokenEndOffsets[outputTokens - 1],
  );
  return renderAnswerToken(request, 0) + remainingText;
}

function extendTextAfterFirstToken(tokenCount: number): void {
  const tokenTexts: string[] = [];
  let endOffset = textAfterFirstToken.length;
  while (tokenEndOffsets.length <= tokenCount) {
    const tokenText = ` w${tokenEndOffsets.length}`;
    tokenTexts.push(tokenText);
    endOffset += tokenText.length;
    tokenEndOffsets.push(endOffset);
  }
  if (tokenTexts.length > 0) {
    textAfterFirstToken += tokenTexts.join("");
  }
}
