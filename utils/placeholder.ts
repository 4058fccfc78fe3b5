/** Placeholder module until the folder has its first. */

export {};
