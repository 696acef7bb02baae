package org.ragwortbank.core.placer

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.tick.Schedule

/** The systems of a placer, in execution order. */
fun placerSchedule(): Schedule<PlacerTables, PlacerInput, PlacerEffect> =
    Schedule(persistentListOf(ReportSystem(), CommandSystem(), EngineDigestSystem()))
