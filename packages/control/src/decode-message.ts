import { type DescMessage, fromBinary, type MessageShape } from "@bufbuild/protobuf";
import type { ErrorData } from "@chestnutspool/types";
import { Effect } from "effect";

/** Decodes a binary message. Fails with `invalidArgument` when the bytes are not a message of the type. */
export function decodeMessage<Desc extends DescMessage>(
    desc: Desc,
    body: Uint8Array,
): Effect.Effect<MessageShape<Desc>, ErrorData> {
    return Effect.try({
        try: () => fromBinary(desc, body),
        catch: (): ErrorData => ({
            kind: "invalidArgument",
            field: "body",
            seen: `${body.length} bytes`,
            allowed: `a message ${desc.typeName}`,
        }),
    });
}
