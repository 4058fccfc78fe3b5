/** Runs every session file and compares it with its golden text. */

import { readdirSync } from "node:fs";
import { test } from "uvu";
import { checkSession, sessionNames, SESSIONS_URL } from "./session_driver.ts";

for (const name of sessionNames(readdirSync(SESSIONS_URL))) {
  test(`should match the golden text of ${name}`, () => checkSession(name));
}

test.run();
