package org.ragwortbank.node.log

/** Log for platform modules, which report here what they read and can't use. */
object PlatformLog {
    /** Logs [message] as a warning. */
    fun warn(message: String) = Logs.platform.warn(message)
}
