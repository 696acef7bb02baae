package org.ragwortbank.node.log

/** How log lines are written. */
enum class LogFormat {
    /** One readable line. */
    TEXT,

    /** One JSON object a line. */
    JSON,
}
