package org.ragwortbank.cli.command

import org.ragwortbank.cli.settings.SettingsList
import org.ragwortbank.cli.toml.TomlSetting
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters
import java.util.concurrent.Callable

/** Lists the settings of one kind of process. */
@Command(
    name = "settings",
    description = ["Lists all settings of a process with their defaults."],
    mixinStandardHelpOptions = true,
)
class SettingsCommand : Callable<Int> {
    @Parameters(paramLabel = "PROCESS", description = ["Kind of process: entry, sidecar, gateway or placer."])
    private lateinit var processKind: String

    override fun call(): Int =
        when (processKind) {
            "entry" -> printSettings(SettingsList.entrySettings())
            "sidecar" -> printSettings(SettingsList.sidecarSettings())
            "gateway" -> printSettings(SettingsList.gatewaySettings())
            "placer" -> printSettings(SettingsList.placerSettings())
            else -> fail(ExitCode.USAGE, "found '$processKind', expected entry, sidecar, gateway or placer")
        }

    private fun printSettings(settings: List<TomlSetting>): Int {
        println(settingsTable(settings))
        return ExitCode.OK.number
    }
}

/** The settings as a Markdown table. */
internal fun settingsTable(settings: List<TomlSetting>): String {
    val rows = settings.map { "| `${it.settingPath}` | ${defaultText(it)} | ${it.expected} |" }
    return (listOf("| setting | default | what it must be |", "| --- | --- | --- |") + rows).joinToString("\n")
}

private fun defaultText(setting: TomlSetting): String =
    when (val default = setting.default) {
        null -> "must be given"
        "" -> "none"
        else -> "`$default`"
    }
