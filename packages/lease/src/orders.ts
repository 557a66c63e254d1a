/** Orders to model engines: load or unload layers, or change to another version or range of layers. */
import { errors, results } from "@shedtiller/common";
import { classifyHttpError } from "@shedtiller/logservice";
import got from "got";
import * as zod from "zod";

export const orderSchema = zod.object({
  /** Offset of the lease record under which the order is sent. Engines that check the token reject an order with a lower one. */
  fencingToken: zod.number().int().nonnegative(),
  /** Wall-clock time after which the order must not take effect. */
  expiresAtMs: zod.number(),
  model: zod.string(),
  version: zod.string(),
  /** Layers to load, the end exclusive; absent to unload. */
  layers: zod.tuple([zod.number().int().nonnegative(), zod.number().int().positive()]).optional(),
});

/** An order to a model engine. */
export type Order = zod.infer<typeof orderSchema>;

/** The engine rejected an order because it has seen a higher fencing token or because the order expired. */
export class OrderStaleError extends errors.ShedtillerError {
  readonly code = "order_stale";

  constructor(readonly endpoint: string) {
    super(`The endpoint ${endpoint} rejected the order as stale.`);
  }
}

export type OrderError = errors.NotReachedError | errors.ConnectionLostError | OrderStaleError;

const orderTimeoutMs = 2_000;
const okStatus = 200;

/**
 * Sends an order to an engine. After a `ConnectionLostError`, the order may have taken effect: read the engine's state before sending
 * another one.
 */
export async function sendOrder(
  endpoint: string,
  address: string,
  order: Order,
): Promise<results.Result<void, OrderError>> {
  try {
    const response = await got.post(`http://${address}/v1/orders`, {
      json: order,
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: orderTimeoutMs },
    });
    if (response.statusCode === okStatus) return results.Ok(undefined);
    return results.Err(new OrderStaleError(endpoint));
  } catch (error) {
    return results.Err(classifyHttpError(address, error));
  }
}
