package org.ragwortbank.standins.fleet

/** How a command of the product ended. */
data class CommandResult(
    val exitCode: Int,
    val output: String,
)
