import {isIPv4} from 'node:net';

const MAXIMUM_PORT = 65_535;

/** Whether a text is an IPv4 address and a port, such as "10.0.0.1:80". */
export function isSocketAddress(text: string): boolean {
  const [address = '', port = '', ...rest] = text.split(':');
  return (
    rest.length === 0 &&
    isIPv4(address) &&
    /^\d{1,5}$/.test(port) &&
    Number(port) >= 1 &&
    Number(port) <= MAXIMUM_PORT
  );
}
