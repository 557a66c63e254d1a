/** Answers of keyed calls, as they are kept and passed between instances. */
import type { ServiceAnswer } from "@shedtiller/claims";
import * as zod from "zod";

export const storedAnswerSchema = zod.discriminatedUnion("kind", [
  zod.object({
    kind: zod.literal("model"),
    tokens: zod.array(zod.number().int().nonnegative()).readonly(),
    isEnd: zod.boolean(),
    replacements: zod.number().int().nonnegative(),
  }),
  zod.object({
    kind: zod.literal("service"),
    status: zod.number().int(),
    contentType: zod.string().nullable(),
    body: zod.custom<Uint8Array>((value) => value instanceof Uint8Array, "expected bytes"),
    endpoint: zod.string(),
  }),
]);

/** The answer of a model or of a plain service. */
export type StoredAnswer = zod.infer<typeof storedAnswerSchema>;

/** A service's answer as it is stored. */
export type StoredServiceAnswer = Extract<StoredAnswer, { kind: "service" }>;

/** A service's answer in its stored form. */
export function toStoredAnswer(answer: ServiceAnswer): StoredAnswer {
  return { kind: "service", ...answer, contentType: answer.contentType ?? null };
}
