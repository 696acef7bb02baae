package org.ragwortbank.node.log

/** Log of reloads of the settings file while the process runs. */
object SettingsLog {
    /** Reports that the file was reloaded. */
    fun reloaded() =
        Logs.config.info("settings reloaded; changes of addresses and logging take effect at the next start")

    /** Reports that an optional value can't be used because of [problem], so that its default is in force. */
    fun replacedByDefault(problem: String) =
        Logs.config.error("optional setting replaced by its default: {}", problem)

    /** Reports that the file was rejected because of [problem] and the previous settings stay in force. */
    fun rejected(problem: String) =
        Logs.config.warn("settings file rejected, previous settings stay in force: {}", problem)
}
