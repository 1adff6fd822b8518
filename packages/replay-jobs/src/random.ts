import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Random values of one replay. The same seed gives the same sequence. */
export interface Random {
    /** Uniform from 0 to 1, excluding 1. */
    readonly drawShare: () => number;
    /** Log-normal; `spread` is the standard deviation as a share of the mean. Values above `largest` are clamped. */
    readonly drawSize: (mean: number, spread: number, largest: number) => number;
    /** Time until the next event of a Poisson process, in the unit of the mean. */
    readonly drawGap: (mean: number) => number;
}

/** Creates the random values of a seed. */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    const drawShare = (): number => uniformFloat64(generator);
    const drawNormal = (): number => {
        const radius = Math.sqrt(-2 * Math.log(1 - drawShare()));
        return radius * Math.cos(2 * Math.PI * drawShare());
    };
    return {
        drawShare,
        drawSize: (mean, spread, largest) => {
            const variance = Math.log(1 + spread * spread);
            const size = mean * Math.exp(drawNormal() * Math.sqrt(variance) - variance / 2);
            return Math.min(largest, size);
        },
        drawGap: mean => -mean * Math.log(1 - drawShare()),
    };
}
