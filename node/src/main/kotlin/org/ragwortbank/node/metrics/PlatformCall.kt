package org.ragwortbank.node.metrics

/** Calls of the platform's services that are counted. */
enum class PlatformCall(val label: String) {
    /** Reading the operators' tables. */
    READ_CONFIG("read_config"),

    /** Reading or changing the limit epoch. */
    EPOCH("epoch"),

    /** Recording or releasing an idempotency key. */
    CLAIM("claim"),

    /** Taking a fencing number. */
    FENCING("fencing"),

    /** Reading the instance list. */
    INSTANCES("instances"),

    /** Opening the watch. */
    WATCH("watch"),
}
