/** Kinds of requests of the two deployments, their tiers and workspaces. */

/** A deployment of the system, by the organization that operates it. */
export enum Deployment {
  ShambaSafi = "shamba-safi",
  SunuRegistrs = "sunu-registrs",
}

/** Kinds of requests that callers send. */
export enum WorkKind {
  FaultNote = "fault-note",
  SeasonPlan = "season-plan",
  BladeQuery = "blade-query",
  StatusPost = "status-post",
  LicenceRenewal = "licence-renewal",
  FeeQuestion = "fee-question",
  ReminderLetter = "reminder-letter",
  CaseFileReading = "case-file-reading",
  InvoiceDraft = "invoice-draft",
}

/** Bounds of a length in tokens, both inclusive. */
export interface TokenRange {
  readonly min: number;
  readonly max: number;
}

/** Frequency, lengths and delivery options of one kind of request. */
export interface WorkKindProfile {
  readonly deployment: Deployment;
  readonly tier: string;
  readonly pool: string;
  /** Relative frequency among the deployment's requests under normal load. */
  readonly weight: number;
  /** Length of the leading text that requests of a workspace share. */
  readonly prefixTokens: TokenRange;
  /** Number of different leading texts of each workspace. */
  readonly prefixesPerWorkspace: number;
  /** Length of the part of the prompt that is unique to the request. */
  readonly uniqueTokens: TokenRange;
  readonly outputTokens: TokenRange;
  readonly maxOutputTokens: number;
  readonly deadlineMs: number;
  readonly idempotent: boolean;
  /** Share (0 to 1) of requests that carry an idempotency key. */
  readonly idempotencyKeyShare: number;
}

/** A workspace and its relative share of a deployment's requests. */
export interface WorkspaceShare {
  readonly workspace: string;
  readonly weight: number;
}

/** Tiers of each deployment, highest priority first. */
export const TIERS_BY_DEPLOYMENT: Record<Deployment, readonly string[]> = {
  [Deployment.ShambaSafi]: ["urgent", "planned", "routine"],
  [Deployment.SunuRegistrs]: ["counter", "office", "background"],
};

/** Workspaces of each deployment; a few send most of the requests. */
export const WORKSPACES_BY_DEPLOYMENT: Record<
  Deployment,
  readonly WorkspaceShare[]
> = {
  [Deployment.ShambaSafi]: [
    { workspace: "arusha-schools", weight: 40 },
    { workspace: "njiro-plots", weight: 25 },
    { workspace: "arusha-clinics", weight: 15 },
    { workspace: "meru-plots", weight: 12 },
    { workspace: "usa-river-plots", weight: 8 },
  ],
  [Deployment.SunuRegistrs]: [
    { workspace: "riga-city", weight: 50 },
    { workspace: "jurmala", weight: 20 },
    { workspace: "vet-centrs", weight: 12 },
    { workspace: "ogre", weight: 10 },
    { workspace: "vet-teika", weight: 8 },
  ],
};

/** Profile of each kind of request. */
export const WORK_KIND_PROFILES: Record<WorkKind, WorkKindProfile> = {
  [WorkKind.FaultNote]: {
    deployment: Deployment.ShambaSafi,
    tier: "urgent",
    pool: "msaidizi",
    weight: 25,
    prefixTokens: { min: 512, max: 768 },
    prefixesPerWorkspace: 1,
    uniqueTokens: { min: 150, max: 900 },
    outputTokens: { min: 60, max: 280 },
    maxOutputTokens: 320,
    deadlineMs: 15_000,
    idempotent: true,
    idempotencyKeyShare: 0.5,
  },
  [WorkKind.SeasonPlan]: {
    deployment: Deployment.ShambaSafi,
    tier: "planned",
    pool: "msaidizi",
    weight: 15,
    prefixTokens: { min: 1_500, max: 3_000 },
    prefixesPerWorkspace: 2,
    uniqueTokens: { min: 3_000, max: 12_000 },
    outputTokens: { min: 400, max: 1_400 },
    maxOutputTokens: 1_536,
    deadlineMs: 120_000,
    idempotent: true,
    idempotencyKeyShare: 0.8,
  },
  [WorkKind.BladeQuery]: {
    deployment: Deployment.ShambaSafi,
    tier: "routine",
    pool: "msaidizi",
    weight: 45,
    prefixTokens: { min: 64, max: 128 },
    prefixesPerWorkspace: 1,
    uniqueTokens: { min: 12, max: 90 },
    outputTokens: { min: 20, max: 110 },
    maxOutputTokens: 128,
    deadlineMs: 30_000,
    idempotent: true,
    idempotencyKeyShare: 0.2,
  },
  [WorkKind.StatusPost]: {
    deployment: Deployment.ShambaSafi,
    tier: "urgent",
    pool: "kazi-desk",
    weight: 15,
    prefixTokens: { min: 0, max: 0 },
    prefixesPerWorkspace: 1,
    uniqueTokens: { min: 30, max: 90 },
    outputTokens: { min: 4, max: 4 },
    maxOutputTokens: 16,
    deadlineMs: 10_000,
    idempotent: false,
    idempotencyKeyShare: 1,
  },
  [WorkKind.LicenceRenewal]: {
    deployment: Deployment.SunuRegistrs,
    tier: "counter",
    pool: "valodas-modelis",
    weight: 20,
    prefixTokens: { min: 1_024, max: 1_536 },
    prefixesPerWorkspace: 1,
    uniqueTokens: { min: 1_200, max: 6_000 },
    outputTokens: { min: 80, max: 360 },
    maxOutputTokens: 400,
    deadlineMs: 30_000,
    idempotent: true,
    idempotencyKeyShare: 0.6,
  },
  [WorkKind.FeeQuestion]: {
    deployment: Deployment.SunuRegistrs,
    tier: "office",
    pool: "valodas-modelis",
    weight: 40,
    prefixTokens: { min: 64, max: 128 },
    prefixesPerWorkspace: 1,
    uniqueTokens: { min: 12, max: 90 },
    outputTokens: { min: 20, max: 110 },
    maxOutputTokens: 128,
    deadlineMs: 20_000,
    idempotent: true,
    idempotencyKeyShare: 0.2,
  },
  [WorkKind.ReminderLetter]: {
    deployment: Deployment.SunuRegistrs,
    tier: "background",
    pool: "valodas-modelis",
    weight: 15,
    prefixTokens: { min: 512, max: 768 },
    prefixesPerWorkspace: 1,
    uniqueTokens: { min: 100, max: 400 },
    outputTokens: { min: 200, max: 560 },
    maxOutputTokens: 640,
    deadlineMs: 300_000,
    idempotent: true,
    idempotencyKeyShare: 0.8,
  },
  [WorkKind.CaseFileReading]: {
    deployment: Deployment.SunuRegistrs,
    tier: "office",
    pool: "valodas-modelis",
    weight: 12,
    prefixTokens: { min: 8_000, max: 24_000 },
    prefixesPerWorkspace: 30,
    uniqueTokens: { min: 40, max: 300 },
    outputTokens: { min: 150, max: 700 },
    maxOutputTokens: 768,
    deadlineMs: 90_000,
    idempotent: true,
    idempotencyKeyShare: 0.7,
  },
  [WorkKind.InvoiceDraft]: {
    deployment: Deployment.SunuRegistrs,
    tier: "counter",
    pool: "registrs",
    weight: 13,
    prefixTokens: { min: 0, max: 0 },
    prefixesPerWorkspace: 1,
    uniqueTokens: { min: 60, max: 200 },
    outputTokens: { min: 4, max: 4 },
    maxOutputTokens: 16,
    deadlineMs: 15_000,
    idempotent: false,
    idempotencyKeyShare: 1,
  },
};

/**
 * Lists the kinds of requests of a deployment.
 *
 * @param deployment The deployment.
 * @returns The kinds of requests.
 */
export function listWorkKinds(deployment: Deployment): WorkKind[] {
  return Object.values(WorkKind).filter((kind) =>
    WORK_KIND_PROFILES[kind].deployment === deployment
  );
}
