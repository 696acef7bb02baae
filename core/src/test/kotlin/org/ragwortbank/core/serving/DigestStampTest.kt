package org.ragwortbank.core.serving

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DigestStampTest {
    private val latest = DigestStamp(incarnation = 5_000, number = 7)

    @Test
    fun `given a later digest of the same process, or one of a process with a later start, then it is newer`() {
        assertTrue(DigestStamp(5_000, 8).isNewerThan(latest, Duration.ZERO))
        assertTrue(DigestStamp(5_001, 1).isNewerThan(latest, Duration.ZERO))
    }

    @Test
    fun `given a digest that comes twice or out of order, then it is not newer`() {
        assertFalse(DigestStamp(5_000, 7).isNewerThan(latest, 3.seconds))
        assertFalse(DigestStamp(5_000, 6).isNewerThan(latest, 3.seconds))
        assertFalse(DigestStamp(4_000, 90).isNewerThan(latest, 300.milliseconds))
    }

    // Guards against the digests of a restarted process being dropped for good when its clock was set back.
    @Test
    fun `given a process with an earlier start, when the known one has been silent, then it is newer`() {
        assertTrue(DigestStamp(4_000, 1).isNewerThan(latest, 1.seconds))
    }
}
