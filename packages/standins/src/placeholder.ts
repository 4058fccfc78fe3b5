/** Placeholder module until the package has its first. */

export {};
