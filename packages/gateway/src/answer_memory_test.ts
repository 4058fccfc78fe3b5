import { test } from "uvu";
import * as assert from "uvu/assert";
import { AnswerMemory } from "./answer_memory.ts";

const MB = 1024 * 1024;
const ANSWERS = 50;

// Guards against an instance whose memory grows with the number of targets that
// send bytes without end.
test("all answers together take a limited amount of memory", () => {
  const memory = new AnswerMemory();
  let dropped = 0;
  const answers = Array.from(
    { length: ANSWERS },
    () => memory.reserve(() => dropped++),
  );
  for (const answer of answers) {
    answer.resize(MB);
    assert.ok(memory.bytes <= 32 * MB);
  }
  assert.is(dropped, ANSWERS - 32);
  answers.forEach((answer) => answer.release());
  assert.is(memory.bytes, 0);
});

test("the largest answer is dropped first", () => {
  const memory = new AnswerMemory();
  const dropped: string[] = [];
  const small = memory.reserve(() => dropped.push("small"));
  small.resize(1000);
  for (let i = 0; i < ANSWERS; i++) {
    memory.reserve(() => dropped.push("large")).resize(MB);
  }
  assert.equal([...new Set(dropped)], ["large"]);
  assert.not(small.isReleased);
});

test("an answer beyond the limit is dropped, and takes no more bytes", () => {
  const memory = new AnswerMemory();
  let dropped = 0;
  const answer = memory.reserve(() => dropped++);
  answer.resize(MB);
  answer.resize(MB + 1);
  answer.resize(MB + 2);
  assert.is(dropped, 1);
  assert.is(memory.bytes, 0);
});

test("an event that is complete takes no more memory", () => {
  const memory = new AnswerMemory();
  const answer = memory.reserve(() => {});
  answer.resize(1000);
  answer.resize(10);
  assert.is(memory.bytes, 10);
});

test.run();
