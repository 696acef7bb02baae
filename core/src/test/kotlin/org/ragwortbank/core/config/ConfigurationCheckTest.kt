package org.ragwortbank.core.config

import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.AccountKey
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.model.PoolName
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.model.UpstreamKind
import org.ragwortbank.core.model.configuration
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationCheckTest {
    private val sound = configuration(version = 1) {
        pool("engines", UpstreamKind.ENGINE, "engine-*")
        account("large", rate = 1_000, burst = 100)
        route("advice", "engines", AdapterRef("advice", "3"), "large")
    }

    @Test
    fun `given sound tables, then there is no problem`() {
        assertEquals(emptyList(), checkConfiguration(sound))
    }

    @Test
    fun `given several mistakes, then all are named with path, what was found and what was expected`() {
        val broken = sound
            .with(TableChange.RemovePool(PoolName("engines")))
            .copy(accounts = sound.accounts.clear())
        val paths = checkConfiguration(broken).map { it.path }
        assertEquals(listOf("routes.advice.pool", "routes.advice.accounts"), paths)
    }

    @Test
    fun `given a key for an account that is in no table, then it is refused`() {
        val accountKey = AccountKey(KeyHash("aa"), AccountId("nobody"))
        val problem = checkConfiguration(sound.with(TableChange.IssueKey(accountKey))).single()
        assertEquals("keys.aa: found 'nobody', expected an account of the pools file", problem.toString())
    }

    @Test
    fun `given declared tables, then the changes between make them true`() {
        val declared = configuration(version = 0) {
            pool("engines", UpstreamKind.ENGINE, "engine-1")
            account("small", rate = 1, burst = 1)
        }
        val changes = changesBetween(sound, declared)
        val result = changes.fold(sound) { tables, change -> tables.with(change) }
        assertEquals(declared, result.copy(version = 0))
        assertEquals("routes.advice", changes.last().path)
        assertEquals(false, RouteName("advice") in result.routes)
    }
}
