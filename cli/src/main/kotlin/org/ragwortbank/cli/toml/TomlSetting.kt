package org.ragwortbank.cli.toml

/**
 * A setting that a file may contain.
 *
 * @property settingPath dotted path of the setting
 * @property default value if the setting is missing; null if the setting is required
 * @property expected description of the valid values
 */
data class TomlSetting(
    val settingPath: String,
    val default: String?,
    val expected: String,
)
