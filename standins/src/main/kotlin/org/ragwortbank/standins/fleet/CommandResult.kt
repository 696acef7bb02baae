package org.ragwortbank.standins.fleet

/** Exit code and standard output of a `ragwortbank` command. */
data class CommandResult(
    val exitCode: Int,
    val output: String,
)
