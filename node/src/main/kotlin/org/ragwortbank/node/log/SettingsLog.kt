package org.ragwortbank.node.log

/** Log of a settings file that is read again while the process runs. */
object SettingsLog {
    /** The file has no mistakes. */
    fun reloaded() = Logs.config.info("settings read again; addresses and logging change at the next start")

    /** The file can't be used because of [problem]. */
    fun rejected(problem: String) = Logs.config.warn("settings not changed: {}", problem)
}
