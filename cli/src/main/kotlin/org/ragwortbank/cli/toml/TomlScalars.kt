package org.ragwortbank.cli.toml

import net.peanuuutz.tomlkt.TomlElement
import net.peanuuutz.tomlkt.TomlLiteral

/** The text that [element] is; null when it is anything else or empty. */
internal fun stringContent(element: TomlElement): String? =
    (element as? TomlLiteral)?.takeIf { it.type == TomlLiteral.Type.String }?.content?.ifEmpty { null }

/** The number or truth value that [element] is, as it is written; null when it is anything else. */
internal fun scalarContent(element: TomlElement): String? =
    (element as? TomlLiteral)?.takeIf { it.type != TomlLiteral.Type.String }?.content
