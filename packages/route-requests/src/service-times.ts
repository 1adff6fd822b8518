/** Weight of a new observation in the decaying mean; about the last ten observations count. */
const observationWeight = 0.2;

/** Decaying means of response times by name of service or minion. */
export interface ServiceTimes {
    readonly observeTime: (name: string, valueMs: number) => void;
    /** Mean in milliseconds; undefined before the first observation. */
    readonly estimateTime: (name: string) => number | undefined;
    readonly forgetServiceTime: (name: string) => void;
}

/** Creates estimates without observations. */
export function createServiceTimes(): ServiceTimes {
    const means = new Map<string, number>();
    return {
        observeTime: (name, valueMs) => {
            const mean = means.get(name);
            means.set(name, mean === undefined ? valueMs : mean + observationWeight * (valueMs - mean));
        },
        estimateTime: name => means.get(name),
        forgetServiceTime: name => {
            means.delete(name);
        },
    };
}
