import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Random numbers of one replay; the same for the same seed. */
export interface Random {
    /** From 0 to 1, 1 excluded. */
    readonly readShare: () => number;
    /** Log-normal with a mean and a standard deviation as a share of it, cut at a largest value. */
    readonly readSize: (mean: number, spread: number, largest: number) => number;
    /** Time until the next event of a Poisson process, in the unit of the mean. */
    readonly readGap: (mean: number) => number;
}

/** Creates the random numbers of a seed. */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    const readShare = (): number => uniformFloat64(generator);
    const readNormal = (): number => {
        const radius = Math.sqrt(-2 * Math.log(1 - readShare()));
        return radius * Math.cos(2 * Math.PI * readShare());
    };
    return {
        readShare,
        readSize: (mean, spread, largest) => {
            const variance = Math.log(1 + spread * spread);
            const size = mean * Math.exp(readNormal() * Math.sqrt(variance) - variance / 2);
            return Math.min(largest, size);
        },
        readGap: mean => -mean * Math.log(1 - readShare()),
    };
}
