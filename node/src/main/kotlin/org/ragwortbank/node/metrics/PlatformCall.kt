package org.ragwortbank.node.metrics

/** Kinds of calls to platform services, as counted in the metrics. */
enum class PlatformCall(val label: String) {
    /** Reading the configuration. */
    READ_CONFIG("read_config"),

    /** Reading or changing the limit epoch. */
    EPOCH("epoch"),

    /** Recording or releasing an idempotency key. */
    CLAIM("claim"),

    /** Obtaining a fencing token. */
    FENCING("fencing"),

    /** Reading the instance list. */
    INSTANCES("instances"),

    /** Opening the watch on the key-value service. */
    WATCH("watch"),
}
