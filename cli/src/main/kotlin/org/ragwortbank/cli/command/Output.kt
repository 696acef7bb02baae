package org.ragwortbank.cli.command

/** Prints each of [problems] to standard error and returns [ExitCode.INVALID]. */
internal fun reportProblems(problems: List<String>): Int {
    problems.forEach { System.err.println(it) }
    return ExitCode.INVALID.number
}

/** Prints [message] to standard error and returns the number of [code]. */
internal fun fail(code: ExitCode, message: String): Int {
    System.err.println(message)
    return code.number
}
