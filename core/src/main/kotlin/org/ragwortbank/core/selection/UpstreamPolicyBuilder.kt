package org.ragwortbank.core.selection

import org.ragwortbank.core.eligibility.BackedOff
import org.ragwortbank.core.eligibility.Exclusion
import org.ragwortbank.core.eligibility.ModelMissing
import org.ragwortbank.core.eligibility.NotAccepting
import org.ragwortbank.core.eligibility.QuietTime
import org.ragwortbank.core.eligibility.RepeatedAttempt
import org.ragwortbank.core.locality.DomainDelay
import org.ragwortbank.core.locality.DomainLossObserver
import org.ragwortbank.core.locality.EvacuatedDomain
import org.ragwortbank.core.locality.LostDomainDelay
import org.ragwortbank.core.locality.OutsideHome
import org.ragwortbank.core.pacing.ColdLimit
import org.ragwortbank.core.pacing.ColdObserver
import org.ragwortbank.core.pacing.PaceLimit
import org.ragwortbank.core.pacing.PaceObserver
import org.ragwortbank.core.pacing.SendLimit
import org.ragwortbank.core.pressure.ConnectionLimit
import org.ragwortbank.core.pressure.TokenMemoryLimit
import org.ragwortbank.core.ranking.AdapterDelay
import org.ragwortbank.core.ranking.DelayTerm
import org.ragwortbank.core.ranking.LearnedDelay
import org.ragwortbank.core.ranking.QueueDelay
import org.ragwortbank.core.speed.CompletionDelay
import org.ragwortbank.core.speed.MomentaryDelay
import org.ragwortbank.core.speed.PromptReadingObserver
import org.ragwortbank.core.speed.StallDelay
import org.ragwortbank.core.versions.OtherVersion

/** Puts an [UpstreamPolicy] together. */
class UpstreamPolicyBuilder internal constructor() {
    internal var policy = UpstreamPolicy()
        private set

    /** Adds a rule by which upstreams are excluded. */
    fun exclude(exclusion: Exclusion) {
        policy = policy.copy(exclusions = policy.exclusions.add(exclusion))
    }

    /** Adds a bound on what an upstream is given. */
    fun limit(limit: SendLimit) {
        policy = policy.copy(limits = policy.limits.add(limit))
    }

    /** Adds a term of the expected delay. */
    fun rank(term: DelayTerm) {
        policy = policy.copy(terms = policy.terms.add(term))
    }

    /** Sets how one of the candidates is chosen. */
    fun choose(choice: Choice) {
        policy = policy.copy(choice = choice)
    }

    /** Adds an observer of attempts. */
    fun observe(observer: UpstreamObserver) {
        policy = policy.copy(observers = policy.observers.add(observer))
    }
}

/** Builds a policy from the parts that [build] adds, in their order. */
fun upstreamPolicy(build: UpstreamPolicyBuilder.() -> Unit): UpstreamPolicy =
    UpstreamPolicyBuilder().apply(build).policy

/** The policy of a gateway. Each part is in force only where configuration and settings call for it. */
fun defaultUpstreamPolicy(): UpstreamPolicy =
    upstreamPolicy {
        exclude(NotAccepting())
        exclude(EvacuatedDomain())
        exclude(OutsideHome())
        exclude(OtherVersion())
        exclude(RepeatedAttempt())
        exclude(QuietTime())
        exclude(BackedOff())
        exclude(ModelMissing())
        limit(ColdLimit())
        limit(PaceLimit())
        limit(TokenMemoryLimit())
        limit(ConnectionLimit())
        rank(AdapterDelay())
        rank(QueueDelay())
        rank(LearnedDelay())
        rank(CompletionDelay())
        rank(MomentaryDelay())
        rank(StallDelay())
        rank(DomainDelay())
        rank(LostDomainDelay())
        observe(ColdObserver())
        observe(PaceObserver())
        observe(PromptReadingObserver())
        observe(DomainLossObserver())
    }
