/** Bodies of model requests. Unknown fields are accepted, since OpenAI's clients send many. */
import { digestText } from "@shedtiller/crashes";
import * as zod from "zod";

const maxAnswerTokens = 32_768;
const defaultAnswerTokens = 64;

const common = {
  model: zod.string().min(1),
  stream: zod.boolean().default(false),
  max_tokens: zod.number().int().positive().max(maxAnswerTokens).optional(),
};

const textPart = zod.object({ type: zod.literal("text"), text: zod.string() });

/** Body of a chat completion. */
export const chatBodySchema = zod.looseObject({
  ...common,
  max_completion_tokens: zod.number().int().positive().max(maxAnswerTokens).optional(),
  messages: zod
    .array(
      zod.looseObject({ role: zod.string().min(1), content: zod.union([zod.string(), zod.array(textPart)]) }),
    )
    .min(1),
});

/** Body of a text completion. */
export const textBodySchema = zod.looseObject({ ...common, prompt: zod.string().min(1) });

export type ChatBody = zod.infer<typeof chatBodySchema>;
export type TextBody = zod.infer<typeof textBodySchema>;

/** Returns the messages of a chat as one prompt. */
export function getChatPrompt(body: ChatBody): string {
  return body.messages.map((message) => `${message.role}: ${getText(message.content)}`).join("\n");
}

/** Returns an id of each message of a chat, which is the same for identical messages. */
export function getMessageIds(body: ChatBody): string[] {
  return body.messages.map((message) => digestText(`${message.role}: ${getText(message.content)}`));
}

function getText(content: ChatBody["messages"][number]["content"]): string {
  return typeof content === "string" ? content : content.map((part) => part.text).join("");
}

/** Returns the maximum length of the answer that a body requests. */
export function getMaxTokens(body: {
  max_tokens?: number | undefined;
  max_completion_tokens?: number | undefined;
}): number {
  return body.max_completion_tokens ?? body.max_tokens ?? defaultAnswerTokens;
}
