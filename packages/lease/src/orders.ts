/** Orders to model engines: load, unload, another version or another range of layers. */
import { errors, results } from "@shedtiller/common";
import { classifyHttpError } from "@shedtiller/logservice";
import got from "got";
import * as zod from "zod";

export const orderSchema = zod.object({
  /** Offset of the lease record under which the order is given. Engines that check reject lower ones. */
  fencingToken: zod.number().int().nonnegative(),
  /** Wall time after which the order must not take effect. */
  expiresAtMs: zod.number(),
  model: zod.string(),
  version: zod.string(),
  /** Layers to hold; absent to unload. */
  layers: zod.tuple([zod.number().int().nonnegative(), zod.number().int().positive()]).optional(),
});

/** One order. */
export type Order = zod.infer<typeof orderSchema>;

/** The engine has seen a newer lease, or the order came too late. */
export class OrderStaleError extends errors.ShedtillerError {
  readonly code = "order_stale";

  constructor(readonly endpoint: string) {
    super(`The endpoint ${endpoint} rejected the order as stale.`);
  }
}

export type OrderError = errors.NotReachedError | errors.ConnectionLostError | OrderStaleError;

const orderTimeoutMs = 2_000;
const okStatus = 200;

/** Sends an order. After `ConnectionLostError` it may have taken effect: read the engine's state before the next. */
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
