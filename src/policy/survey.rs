//! The look over the workers that a call may go to: the likeliest homes of its model until one is met that
//! answers, and whoever else is believed to hold a copy.
use super::*;

/// Part of the aim for which a queue at an instance may keep a call.
const QUEUE: f64 = 0.5;

/// A look for one call.
struct Survey<'a> {
    dispatcher: &'a Dispatcher,
    pending: &'a Pending,
    model: &'a Model,
    may_order: bool,
    /// A call goes and looks itself where that proves harmless, or no order may be given.
    may_look: bool,
    /// Zones in which a worker was met that rather answers than fails.
    zones: BTreeSet<usize>,
    /// Homes that were looked at.
    met: Vec<WorkerId>,
    found: Found,
}

impl Dispatcher {
    /// Looks for the best worker for a call; cold ones are left out where they are spared.
    pub(super) fn survey(&self, pending: &Pending, may_order: bool) -> Option<Found> {
        let model = self.models.get(&pending.request.model)?;
        if let Some(at) = self.back_again(pending) {
            let best = Some(((false, false, 0.0), at));
            return Some(Found { best, known: true, ..Found::default() });
        }
        let misses = self.set.lacking == Lacking::Misses;
        let may_look = misses && pending.attempts + 1 < self.set.max_attempts || !may_order;
        let (zones, met, found) = (BTreeSet::new(), Vec::new(), Found::default());
        let mut survey = Survey { dispatcher: self, pending, model, may_order, may_look, zones, met, found };
        SIDES.into_iter().for_each(|side| survey.look_at(side));
        Some(Found { is_blind: survey.zones.is_empty(), ..survey.found })
    }

    /// A worker that has come back and was not tried since is looked at once, whatever stands elsewhere: the
    /// first of them in the order of homes.
    fn back_again(&self, pending: &Pending) -> Option<WorkerId> {
        let candidates = self.returned.iter().filter(|_| pending.attempts == 0).filter_map(|&at| {
            let worker = self.workers.get(&at).filter(|worker| {
                worker.cold(self.now, &self.set) && worker.untried(&self.set) && self.open(worker, pending)
            })?;
            let fails =
                self.odds(worker, pending.request.class) > 1.0 + self.doubt_odds(pending.request.class);
            let is_bait = self.set.classes[pending.request.class].effect == Effect::Unsafe && fails;
            let (side, ranked) =
                self.fleet.get(at).filter(|_| !is_bait && !self.spares(pending, worker, at))?;
            Some((side, homes::rank(&ranked, pending.request.model), at))
        });
        candidates.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|candidate| candidate.2)
    }

    /// Odds that a call of a class fails wherever it goes.
    fn doubt_odds(&self, class: usize) -> f64 {
        self.doubt[class] / (1.0 - self.doubt[class]).max(0.01)
    }

    /// Whether a call that has to cross to a zone does better than one that waits for a load.
    fn crossing_pays(&self, zone: usize) -> bool {
        let own = self.zone_ms.get(&self.set.zone).copied().unwrap_or(0.0);
        let there = self.zone_ms.get(&zone).copied().unwrap_or(own);
        let crossing = self.set.price_cross + (there - own).max(0.0) / self.aim;
        crossing <= self.set.price_fetch + self.load_ms / self.aim
    }
}

impl Survey<'_> {
    /// Looks at the homes of a group as far as they are near, and at all of it that may hold a copy.
    fn look_at(&mut self, side: Side) {
        let (model, roams) = (self.model, self.dispatcher.roams());
        for home in model.homes.of(side) {
            if !roams && !self.zones.is_empty() {
                break;
            }
            self.met.push(home.worker);
            self.consider(home.worker);
        }
        let keep = self.dispatcher.set.keep;
        for (&at, holder) in &model.holders {
            if !holder.stands(self.dispatcher.now, keep) || self.met.contains(&at) {
                continue;
            }
            if self.dispatcher.fleet.get(at).is_some_and(|(group, _)| group == side) {
                self.consider(at);
            }
        }
    }

    fn consider(&mut self, at: WorkerId) {
        let Survey { dispatcher, pending, model, .. } = *self;
        let (name, class, now, set) =
            (pending.request.model, pending.request.class, dispatcher.now, &dispatcher.set);
        let Some(worker) = dispatcher.workers.get(&at) else { return };
        let line = model.holders.get(&at);
        let stands = line.is_some_and(|line| line.stands(now, set.keep));
        let roams = dispatcher.roams();
        // A cold worker that is far holds little yet, and has no calls to spare.
        let near =
            self.zones.is_empty() || roams && !self.zones.contains(&worker.zone) && !worker.cold(now, set);
        if !(stands || near) || dispatcher.spares(pending, worker, at) || !dispatcher.open(worker, pending) {
            return;
        }
        let odds = dispatcher.odds(worker, class);
        self.zones.extend((odds < 1.0).then_some(worker.zone));
        let Class { aim, effect, .. } = set.classes[class];
        // Unsafe calls are no bait: not sent where they rather fail than not, unless they do everywhere.
        if effect == Effect::Unsafe && odds > 1.0 + dispatcher.doubt_odds(class) {
            return;
        }
        let clear = line.is_none_or(|line| line.lacks <= now) && !dispatcher.loads.contains(&(name, at));
        let presumed = near && self.may_look && (clear || !self.may_order);
        if !stands && !presumed {
            return;
        }
        self.found.known |= stands;
        let foreign = worker.zone != set.zone;
        let (cost, queue) = dispatcher.cost(worker, line, pending, model.lanes);
        // A queue there is worth joining while it is cleared well within the aim.
        let fits =
            if foreign { queue <= 0.0 && dispatcher.crossing_pays(worker.zone) } else { queue < QUEUE * aim };
        // Where it may have run without an answer it is tried again last.
        let cost = cost + if pending.ran.iter().any(|ran| ran.1 == at) { aim } else { 0.0 };
        let key = (foreign, foreign && roams && !stands, cost);
        if fits && self.found.best.is_none_or(|best| key < best.0) {
            self.found.best = Some((key, at));
        }
    }
}
