package org.ragwortbank.standins.load

import org.ragwortbank.standins.fleet.Child
import kotlin.jvm.optionals.getOrNull
import kotlin.time.Duration
import kotlin.time.toKotlinDuration

/** Processor time that [children] have used so far, together. */
internal fun cpuTime(children: List<Child>): Duration =
    children.fold(Duration.ZERO) { sum, child ->
        val used = ProcessHandle.of(child.pid).getOrNull()?.info()?.totalCpuDuration()?.getOrNull()
        sum + (used?.toKotlinDuration() ?: Duration.ZERO)
    }
