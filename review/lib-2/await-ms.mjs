/** Waits for a time in milliseconds. */
export function awaitMs(ms) {
    return new Promise(resolve => {
        setTimeout(resolve, ms);
    });
}

const pollMs = 20;

/** Waits until a condition holds; fails if it does not within `limitMs`. */
export async function awaitUntil(condition, limitMs, what) {
    const deadlineMs = performance.now() + limitMs;
    while (!condition()) {
        if (performance.now() > deadlineMs) {
            throw new Error(`${what} did not happen within ${limitMs} ms`);
        }
        await awaitMs(pollMs);
    }
}
