package org.ragwortbank.cli.toml

/**
 * A setting that may stand in a file.
 *
 * @property default what counts when it is not given; null when it must be given
 * @property expected what it must be
 */
data class TomlSetting(
    val settingPath: String,
    val default: String?,
    val expected: String,
)
