import type {RequestHandler} from 'express';

const STATUS_BAD_REQUEST = 400;

/** Parses the body that a body reader has read as JSON; an empty one is an object. */
export const parseJsonBody: RequestHandler = (request, _response, next) => {
  const bytes = request.body as Buffer;
  try {
    request.body =
      bytes.length === 0 ? {} : (JSON.parse(bytes.toString('utf8')) as unknown);
    next();
  } catch (error) {
    next(Object.assign(error as Error, {status: STATUS_BAD_REQUEST}));
  }
};
