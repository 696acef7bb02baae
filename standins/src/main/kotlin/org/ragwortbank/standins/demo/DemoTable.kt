package org.ragwortbank.standins.demo

/** Prints a header and one line per result. */
internal fun List<DemoResult>.printTable() {
    println("%-52s %-7s %-5s %s".format("request", "status", "code", "as expected"))
    forEach { result ->
        val asExpected = if (result.isAsExpected) "yes" else "NO"
        println("%-52s %-7d %-5s %s".format(result.name, result.status, result.code, asExpected))
    }
}
