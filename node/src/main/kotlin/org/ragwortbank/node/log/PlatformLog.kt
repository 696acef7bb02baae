package org.ragwortbank.node.log

/** Log of what a platform's adapter reads and can't use. */
object PlatformLog {
    /** Writes a warning. */
    fun warn(message: String) = Logs.platform.warn(message)
}
